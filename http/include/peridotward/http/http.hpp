#pragma once

#include <peridotward/http/http_client.hpp>
#include <peridotward/http/http_message.hpp>
#include <peridotward/http/http_server.hpp>
