#pragma once

// The Criterion macros used by these tests, implemented in one process
// without forking. Criterion shares memory with its workers at fixed addresses,
// which ThreadSanitizer does not support. Only `make test-threads` includes
// this header instead of Criterion's own.

#include <cstdio>
#include <cstdlib>
#include <vector>

namespace threads {

struct TestCase
{
  const char* suite_;
  const char* name_;
  void (*run_)();
};

inline std::vector<TestCase>&
TestCases()
{
  static std::vector<TestCase> cases;
  return cases;
}

struct Registration
{
  Registration(const char* aSuite, const char* aName, void (*aRun)())
  {
    TestCases().push_back({ aSuite, aName, aRun });
  }
};

[[noreturn]] inline void
Fail(const char* aFile, int aLine, const char* aText)
{
  std::printf("%s:%d: failed: %s\n", aFile, aLine, aText);
  std::exit(1);
}

} // namespace threads

#define Test(aSuite, aName, ...)                                               \
  static void aSuite##_##aName();                                              \
  static const threads::Registration k##aSuite##_##aName(                      \
    #aSuite, #aName, &aSuite##_##aName);                                       \
  static void aSuite##_##aName()

#define cr_assert(aCondition, ...)                                             \
  ((aCondition) ? (void)0 : threads::Fail(__FILE__, __LINE__, #aCondition))
#define cr_assert_eq(aLeft, aRight, ...) cr_assert((aLeft) == (aRight), "")
#define cr_assert_not(aCondition, ...) cr_assert(!(aCondition), "")
