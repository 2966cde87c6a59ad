#define BOOST_TEST_MODULE sessions
#include <boost/test/unit_test.hpp>
