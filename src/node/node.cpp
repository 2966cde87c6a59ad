#include "node/node.h"
