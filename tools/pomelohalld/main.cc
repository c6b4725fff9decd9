#include <boost/asio/io_context.hpp>

#include "daemon/daemon.h"
int main() { return 0; }
