#pragma once

/// \file
/// Public header of the wire library: encodings and connections to outside systems.

#include "wire/clock.h"
#include "wire/exchangecodec.h"
#include "wire/feedbody.h"
#include "wire/httpclient.h"
#include "wire/httpmessage.h"
#include "wire/httprequestparser.h"
#include "wire/interrupt.h"
#include "wire/jsonreader.h"
#include "wire/keydigests.h"
#include "wire/ownerrecordcodec.h"
#include "wire/peercodec.h"
#include "wire/peermessage.h"
#include "wire/pgconnection.h"
#include "wire/quotacodec.h"
#include "wire/sessioncodec.h"
#include "wire/socketconnect.h"
#include "wire/sqlconnection.h"
#include "wire/statementcodec.h"
#include "wire/storecodec.h"
#include "wire/storedresponse.h"
#include "wire/tablescodec.h"
#include "wire/tcpstream.h"
#include "wire/textfile.h"
#include "wire/vmlistcodec.h"
