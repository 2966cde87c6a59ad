#define BOOST_TEST_MODULE adapter
#include <boost/test/unit_test.hpp>
