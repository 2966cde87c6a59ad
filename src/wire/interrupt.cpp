#include "wire/interrupt.h"

#include <sys/eventfd.h>
#include <unistd.h>

namespace shallotwalk {

Interrupt::Interrupt()
    : descriptor_(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
}

Interrupt::~Interrupt()
{
    if (descriptor_ >= 0)
        close(descriptor_);
}

void Interrupt::raise()
{
    eventfd_write(descriptor_, 1);
}

} // namespace shallotwalk
