#ifndef LIMPETDRUM_REQUEST_ORGANISATIONUSE_H
#define LIMPETDRUM_REQUEST_ORGANISATIONUSE_H

#include "limpetdrum/process/Types.h"

namespace limpetdrum {

/// \brief Requests per second of an organisation that arrive at one node, or at
///   several.
struct OrganisationUse {
  limpetdrum::Organisation Organisation;
  double Asked = 0;
};

} // namespace limpetdrum

#endif
