# Functions that create targets with a common directory layout and flags.

set(POMELOHALL_WARNINGS -Wall -Wextra -Wpedantic -Werror=return-type)

# pomelohall_library(NAME SOURCES ... [LINK ...] [STANDARD 17])
# Creates the static library pomelohall_NAME with alias pomelohall::NAME. Its
# public headers are in include/.
function(pomelohall_library name)
  cmake_parse_arguments(ARG "" "STANDARD" "SOURCES;LINK" ${ARGN})
  add_library(pomelohall_${name} STATIC ${ARG_SOURCES})
  add_library(pomelohall::${name} ALIAS pomelohall_${name})
  target_include_directories(pomelohall_${name} PUBLIC include PRIVATE src)
  target_compile_options(pomelohall_${name} PRIVATE ${POMELOHALL_WARNINGS})
  target_link_libraries(pomelohall_${name} PUBLIC ${ARG_LINK})
  if(ARG_STANDARD)
    set_target_properties(pomelohall_${name} PROPERTIES CXX_STANDARD ${ARG_STANDARD})
  endif()
endfunction()

# Test cases that fail because of a known fault: lines "  test: NAME" of
# KNOWN-RED.txt. CTest leaves exactly these out; the programs still have them.
set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS
             ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)
file(STRINGS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt known_failures
     REGEX "^  test: ")
list(TRANSFORM known_failures REPLACE "^  test: " "~")

# pomelohall_test(NAME SOURCES ... [LINK ...])
# Creates the Catch2 program NAME_test and registers it with CTest.
function(pomelohall_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name}_test ${ARG_SOURCES})
  target_compile_options(${name}_test PRIVATE ${POMELOHALL_WARNINGS})
  target_link_libraries(${name}_test PRIVATE ${ARG_LINK} Catch2WithMain)
  add_test(NAME ${name} COMMAND ${name}_test ${known_failures})
  set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()

# pomelohall_program(NAME SOURCES ... [LINK ...])
# Creates the program NAME in build/bin.
function(pomelohall_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_compile_options(${name} PRIVATE ${POMELOHALL_WARNINGS})
  target_link_libraries(${name} PRIVATE ${ARG_LINK})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
