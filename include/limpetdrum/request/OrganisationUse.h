#ifndef LIMPETDRUM_REQUEST_ORGANISATIONUSE_H
#define LIMPETDRUM_REQUEST_ORGANISATIONUSE_H

#include "limpetdrum/process/Types.h"

namespace limpetdrum {

/// \brief Requests of an organisation at one node, or summed over several, in
///   requests per second.
struct OrganisationUse {
  limpetdrum::Organisation Organisation;
  double Asked = 0;   ///< that arrived
  double Granted = 0; ///< that its allowance let through
};

} // namespace limpetdrum

#endif
