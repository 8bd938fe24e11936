# Functions that declare the project's libraries, plugins, programs and tests.

# Designated initialisers leave out members on purpose.
set(FLAMINGOGAUGE_WARNINGS -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor
                           -Wno-missing-field-initializers)
if(FLAMINGOGAUGE_WERROR)
  list(APPEND FLAMINGOGAUGE_WARNINGS -Werror)
endif()

# Both the header and the source of easylogging++ must see these definitions.
set(FLAMINGOGAUGE_DEFINITIONS ELPP_THREAD_SAFE ELPP_NO_DEFAULT_LOG_FILE
                              ELPP_DISABLE_DEFAULT_CRASH_HANDLING)

function(flamingogauge_configure_target target)
  target_compile_options(${target} PRIVATE ${FLAMINGOGAUGE_WARNINGS})
  target_compile_definitions(${target} PRIVATE ${FLAMINGOGAUGE_DEFINITIONS})
  target_include_directories(${target} PUBLIC ${PROJECT_SOURCE_DIR}/src)
endfunction()

# flamingogauge_add_library(<name> SOURCES <files...> [DEPENDS <targets...>])
# Declares the static library fg_<name>; used for libs and plugins alike.
function(flamingogauge_add_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(fg_${name} STATIC ${ARG_SOURCES})
  flamingogauge_configure_target(fg_${name})
  target_link_libraries(fg_${name} PUBLIC ${ARG_DEPENDS})
endfunction()

# flamingogauge_add_program(<name> SOURCES <files...> [DEPENDS <targets...>])
function(flamingogauge_add_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  flamingogauge_configure_target(${name})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
endfunction()

# flamingogauge_add_test(<name> SOURCES <files...> [DEPENDS <targets...>]
#                        [LABELS <labels...>] [ARGS <arguments...>])
# Declares a doctest program and registers it with ctest.
function(flamingogauge_add_test name)
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS;LABELS;ARGS" ${ARGN})
  add_executable(tst_${name} ${ARG_SOURCES}
                             ${PROJECT_SOURCE_DIR}/tests/auto/test_main.cc)
  flamingogauge_configure_target(tst_${name})
  target_include_directories(tst_${name} PRIVATE ${PROJECT_SOURCE_DIR})
  target_link_libraries(tst_${name} PRIVATE ${ARG_DEPENDS})
  add_test(NAME ${name} COMMAND tst_${name} ${ARG_ARGS})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT} LABELS
                                          "${ARG_LABELS}")
endfunction()
