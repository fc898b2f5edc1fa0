// Runs the event loop and HTTP tests in one process for ThreadSanitizer.

#include <criterion/criterion.h>

int
main()
{
  for (const auto& test : threads::TestCases()) {
    test.run_();
    std::printf("ok %s/%s\n", test.suite_, test.name_);
  }
  return threads::TestCases().empty() ? 1 : 0;
}
