#pragma once

/// \file
/// Public header of the peers library: connections to other proxies, forwarding and membership.

#include "peers/connectionmessages.h"
#include "peers/membershipactor.h"
#include "peers/messages.h"
#include "peers/peerconnection.h"
#include "peers/peerconnector.h"
#include "peers/peerhandshake.h"
#include "peers/peeridentity.h"
#include "peers/peerlistener.h"
#include "peers/peersactor.h"
#include "peers/peerssupervisor.h"
#include "peers/socketdescriptor.h"
