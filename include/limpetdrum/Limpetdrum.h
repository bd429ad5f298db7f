#ifndef LIMPETDRUM_LIMPETDRUM_H
#define LIMPETDRUM_LIMPETDRUM_H

/// \file
/// \brief Umbrella header for users of the library.
#include "limpetdrum/Config.h"
#include "limpetdrum/Fwd.h"
#include "limpetdrum/connection/EventLoop.h"
#include "limpetdrum/connection/Http.h"
#include "limpetdrum/connection/PlatformClient.h"
#include "limpetdrum/daemon/Node.h"
#include "limpetdrum/process/Error.h"
#include "limpetdrum/process/Membership.h"
#include "limpetdrum/process/Metrics.h"
#include "limpetdrum/process/Settings.h"
#include "limpetdrum/request/Admission.h"
#include "limpetdrum/request/AttemptLedger.h"
#include "limpetdrum/request/Call.h"
#include "limpetdrum/request/KeyHome.h"
#include "limpetdrum/request/KeyLedger.h"
#include "limpetdrum/request/LevelTable.h"
#include "limpetdrum/request/RetryAfter.h"
#include "limpetdrum/request/RetryBudget.h"
#include "limpetdrum/request/Router.h"
#include "limpetdrum/version/InForce.h"
#include "limpetdrum/version/Publication.h"
#include "limpetdrum/version/ReleaseNote.h"

#endif
