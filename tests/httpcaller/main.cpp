#define BOOST_TEST_MODULE httpcaller
#include <boost/test/unit_test.hpp>
