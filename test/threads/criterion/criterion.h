#pragma once

// The few macros of Criterion that the tests of the runtime use, in one process
// without forks. Criterion shares memory with its workers at fixed addresses,
// which the thread sanitizer does not allow. Seen before Criterion's own header
// by `make test-threads` only.

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
