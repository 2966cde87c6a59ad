#define BOOST_TEST_MODULE registry
#include <boost/test/unit_test.hpp>
