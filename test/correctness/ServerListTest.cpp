// The list of servers that sycamorewardd keeps.

#include "configuration/ServerListState.h"

#include <criterion/criterion.h>

#include <string>

using namespace sycamoreward;

// Guards against a server that stays unlisted because it left the list and came
// back to it in one update.
Test(ServerList, KeepsAServerThatWasGoneAndCameBackInOneUpdate)
{
  const auto entryOf = [](const char* aId, const char* aState) {
    return std::string("{\"id\":\"") + aId +
           "\",\"role\":\"desk\",\"pool\":\"desks\",\"address\":"
           "\"127.0.0.1:7000\",\"state\":\"" +
           aState + "\"}";
  };
  const ListUpdate first = ParseInstanceList(
    "{\"version\":3,\"instances\":[" + entryOf("back", "live") + "]}", 0);
  ServerListState list;
  ServerListState peer;
  list.Apply(first);
  peer.Apply(first);
  list.Apply(ParseInstanceList(
    "{\"version\":9,\"instances\":[" + entryOf("back", "gone") + "," +
      entryOf("back", "live") + "," + entryOf("other", "live") + "]}",
    3));
  cr_assert_eq(list.Servers().size(), 2);
  // A peer gets the changes that it lacks.
  cr_assert(peer.Apply(list.UpdateAfter(3)));
  cr_expect_eq(peer.Servers().size(), 2);
}
