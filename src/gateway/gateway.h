#pragma once

/// \file
/// Public header of the gateway library: the proxy for clients that open one session on each
/// connection. All encodings are behind the interfaces of protocols.h.

#include "gateway/datagramsocket.h"
#include "gateway/directoryactor.h"
#include "gateway/exchangeactor.h"
#include "gateway/feedserver.h"
#include "gateway/gatewaynode.h"
#include "gateway/gatewayservice.h"
#include "gateway/gatewaytree.h"
#include "gateway/groupactor.h"
#include "gateway/groupsmanager.h"
#include "gateway/httpcaller.h"
#include "gateway/messages.h"
#include "gateway/promotionactor.h"
#include "gateway/protocols.h"
#include "gateway/quotaactor.h"
#include "gateway/registryrecords.h"
#include "gateway/sessionactor.h"
#include "gateway/sessionlistener.h"
