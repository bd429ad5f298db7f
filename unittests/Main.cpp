#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP
