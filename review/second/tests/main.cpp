// Runs one case of the review: review-2-cases NAME FOLDER.

#include "cases.hpp"

#include <exception>
#include <iostream>
#include <string_view>

int main(int argc, char** argv)
{
    if (argc != 3)
        return review::exit_not_run;
    const std::string_view name{argv[1]};
    try {
        if (name == "config-in-the-dark")
            return review::config_in_the_dark(argv[2]);
        if (name == "late-reader")
            return review::late_reader(argv[2]);
        if (name == "late-readers")
            return review::late_readers(argv[2]);
        if (name == "foreign-keys")
            return review::foreign_keys(argv[2]);
    }
    catch (const std::exception& failure) {
        std::cerr << "not run: " << failure.what() << "\n";
    }
    return review::exit_not_run;
}
