#define BOOST_TEST_MODULE gatewayactors
#include <boost/test/unit_test.hpp>
