#include "peers/socketdescriptor.h"

#include <unistd.h>

namespace shallotwalk {

SocketDescriptor::~SocketDescriptor()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
}

} // namespace shallotwalk
