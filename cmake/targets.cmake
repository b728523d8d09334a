# Shared rules for the build's targets.

add_library(qh_warnings INTERFACE)
target_compile_options(qh_warnings INTERFACE -Wall -Wextra -Werror
                       # Designated initialisers leave members at their defaults on purpose.
                       -Wno-missing-field-initializers
                       # GCC 12 reports it wrongly for std::string operator+.
                       -Wno-restrict)

# qh_module(NAME [DEPENDS module...] [LIBS target...])
# A static library of every .cpp below modules/NAME.
function(qh_module name)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LIBS" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS
       ${PROJECT_SOURCE_DIR}/modules/${name}/*.cpp)
  add_library(${name} STATIC ${sources})
  target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/modules)
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/statecharts)
  target_link_libraries(${name} PUBLIC ${ARG_DEPENDS} ${ARG_LIBS} Threads::Threads
                        PRIVATE qh_warnings)
endfunction()

# qh_program(NAME SOURCES file... DEPENDS target...)
function(qh_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} Boost::program_options
                        qh_warnings)
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY
                        ${PROJECT_BINARY_DIR}/bin)
endfunction()
