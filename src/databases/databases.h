#pragma once

/// \file
/// Public header of the databases library: ownership of databases, their actors and connections.

#include "databases/backendconnection.h"
#include "databases/backendspawner.h"
#include "databases/databaseactor.h"
#include "databases/databasesmanager.h"
#include "databases/messages.h"
#include "databases/ownershipactor.h"
#include "databases/ownershipmessages.h"
#include "databases/pgbackendspawner.h"
#include "databases/requestexecutor.h"
#include "databases/schema.h"
#include "databases/servermonitor.h"
#include "databases/statementtext.h"
