# stepledge_module(NAME name SOURCES ... DEPS ... TESTS ...)
# One static library a module, and one test program where it has tests. Each
# file of tests runs by itself, so that long ones run side by side.
function(stepledge_module)
  cmake_parse_arguments(M "" "NAME" "SOURCES;DEPS;TESTS;TEST_DEPS" ${ARGN})
  add_library(sl_${M_NAME} STATIC ${M_SOURCES})
  target_include_directories(sl_${M_NAME} PUBLIC ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(sl_${M_NAME} PUBLIC ${M_DEPS})
  if(M_TESTS AND NOT STEPLEDGE_PLATFORM_ONLY)
    add_executable(test_${M_NAME} ${M_TESTS} ${PROJECT_SOURCE_DIR}/src/base/tests/TestMain.cpp)
    target_link_libraries(test_${M_NAME} PRIVATE sl_${M_NAME} ${M_TEST_DEPS})
    target_compile_definitions(test_${M_NAME} PRIVATE
      STEPLEDGE_TEST_DATA="${CMAKE_CURRENT_SOURCE_DIR}/tests/data")
    foreach(file ${M_TESTS})
      stepledge_add_test_file(${M_NAME} ${file})
    endforeach()
  endif()
endfunction()

# The test cases of one file; a helper without any is passed over.
function(stepledge_add_test_file module file)
  get_filename_component(name ${file} NAME)
  get_filename_component(stem ${file} NAME_WE)
  if(NOT stem MATCHES "Test$")
    file(STRINGS ${file} cases REGEX "TEST_CASE" LIMIT_COUNT 1)
    if(cases)
      message(FATAL_ERROR "${file} has test cases, but its name doesn't end in Test")
    endif()
    return()
  endif()
  add_test(NAME ${module}.${stem}
    COMMAND test_${module} "--source-file=*/${name}")
  if(stem MATCHES "ScheduleTest$")
    # NOTE: these are among the longest, so they begin first.
    set_tests_properties(${module}.${stem} PROPERTIES COST 1000)
  endif()
endfunction()
