#include <popt.h>

#include <cstdlib>
#include <deque>
#include <iostream>
#include <set>
#include <string>
#include <vector>

#include "command_line.h"
#include "wasabiwall/coordination/config_reader.h"
#include "wasabiwall/coordination/ticket_acceptor.h"
#include "wasabiwall/coordination/ticket_diff.h"
#include "wasabiwall/protocol/ticket.h"
#include "wasabiwall/state/config_view.h"
#include "wasabiwall/transport/key_value_client.h"
#include "wasabiwall/transport/peer_client.h"

namespace {

using namespace wasabiwall;  // NOLINT(google-build-using-namespace)
using programs::ExitCode;
using Outcome = coordination::TicketResult::Outcome;

constexpr char kUsage[] =
    "check FILE… | diff FILE… | apply FILE… | show [KIND [NAME]] | history | "
    "status [ADDRESS…]";
/// Bound of the processes that status asks.
constexpr std::size_t kMaxProcesses = 20000;

struct CliOptions {
  std::string key_value_url;
  std::string secret;
  std::string command;
  std::vector<std::string> arguments;
};

std::string Environment(const char* name) {
  const char* const value = std::getenv(name);
  return value != nullptr ? value : "";
}

CliOptions ParseOptions(int argc, const char** argv) {
  char* url = nullptr;
  int version = 0;
  const poptOption table[] = {
      {"key-value", 'k', POPT_ARG_STRING, &url, 0,
       "base URL of the key-value service (WASABIWALL_KEY_VALUE)", "URL"},
      {"version", 0, POPT_ARG_NONE, &version, 0, "print the version", nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  poptContext context = poptGetContext(nullptr, argc, argv, table, 0);
  poptSetOtherOptionHelp(context, kUsage);
  const int result = poptGetNextOpt(context);
  if (result < -1) {
    std::cerr << poptBadOption(context, 0) << ": " << poptStrerror(result)
              << "\n";
    std::exit(ExitCode::kExitUsage);
  }
  if (version != 0) {
    std::cout << "wasabiwall 0.1.0\n";
    std::exit(ExitCode::kExitOk);
  }
  CliOptions options;
  options.key_value_url =
      url != nullptr ? url : Environment("WASABIWALL_KEY_VALUE");
  options.secret = Environment("WASABIWALL_SECRET");
  while (const char* argument = poptGetArg(context)) {
    if (options.command.empty()) {
      options.command = argument;
    } else {
      options.arguments.emplace_back(argument);
    }
  }
  std::free(url);
  poptFreeContext(context);
  return options;
}

tl::expected<protocol::Ticket, int> LoadTicket(const std::string& file) {
  std::string text;
  if (!programs::ReadFile(file, &text)) {
    std::cerr << file << ": cannot be read\n";
    return tl::make_unexpected(int{ExitCode::kExitUsage});
  }
  auto ticket = protocol::ParseTicket(text, file);
  if (ticket) return *ticket;
  for (const auto& problem : ticket.error())
    std::cerr << problem.Text() << "\n";
  return tl::make_unexpected(int{ExitCode::kExitUsage});
}

int Check(const CliOptions& options) {
  int code = ExitCode::kExitOk;
  for (const std::string& file : options.arguments) {
    const auto ticket = LoadTicket(file);
    if (!ticket) {
      code = ticket.error();
      continue;
    }
    std::cout << file << ": ticket " << ticket->number << ", "
              << ticket->items.size() << " items, correct\n";
  }
  return code;
}

int Report(const protocol::Ticket& ticket,
           const coordination::TicketResult& result) {
  std::cout << "ticket " << ticket.number << ": ";
  switch (result.outcome) {
    case Outcome::kAccepted:
      std::cout << "accepted at revision " << result.revision << "\n";
      return ExitCode::kExitOk;
    case Outcome::kAlreadyAccepted:
      std::cout << "accepted before, at revision " << result.revision << "\n";
      return ExitCode::kExitOk;
    case Outcome::kConflict:
    case Outcome::kStale:
    case Outcome::kBrokenReference:
      std::cout << "refused: " << result.reason << "\n";
      return ExitCode::kExitRefused;
    case Outcome::kNotDone:
      std::cout << "not applied: " << result.reason << "\n";
      return ExitCode::kExitUnavailable;
    case Outcome::kUnknown:
      std::cout << "unknown: " << result.reason << "; apply it again\n";
      return ExitCode::kExitUnavailable;
  }
  return ExitCode::kExitFailed;
}

int Apply(const CliOptions& options, const state::KeyValueStore& store) {
  coordination::TicketAcceptor acceptor(store);
  for (const std::string& file : options.arguments) {
    const auto ticket = LoadTicket(file);
    if (!ticket) return ticket.error();
    const int code = Report(*ticket, acceptor.Apply(*ticket));
    if (code != ExitCode::kExitOk) return code;
  }
  return ExitCode::kExitOk;
}

int Unavailable() {
  std::cerr << "the key-value service gave no answer\n";
  return ExitCode::kExitUnavailable;
}

tl::expected<coordination::ConfigItems, int> ReadItems(
    const state::KeyValueStore& store) {
  const auto changes = coordination::ReadConfigChanges(store, 0);
  if (!changes) return tl::make_unexpected(Unavailable());
  coordination::ConfigItems items;
  for (const state::ConfigItem& item : changes->items) {
    coordination::MergeItem(item, &items);
  }
  return items;
}

void PrintChange(const coordination::ItemChange& change) {
  using Kind = coordination::ItemChange::Kind;
  const std::string label = std::string(state::ItemKindName(change.item.kind)) +
                            " " + change.item.name;
  switch (change.kind) {
    case Kind::kAdded:
      std::cout << "+ " << label << "\n";
      break;
    case Kind::kChanged:
      std::cout << "~ " << label << "\n";
      break;
    case Kind::kRemoved:
      std::cout << "- " << label << "\n";
      break;
    case Kind::kUnchanged:
      std::cout << "= " << label << "\n";
      break;
  }
  for (const std::string& field : change.fields) {
    std::cout << "    " << field << "\n";
  }
}

int Diff(const CliOptions& options, const state::KeyValueStore& store) {
  const auto held = ReadItems(store);
  if (!held) return held.error();
  int code = ExitCode::kExitOk;
  for (const std::string& file : options.arguments) {
    const auto ticket = LoadTicket(file);
    if (!ticket) return ticket.error();
    for (const auto& change : coordination::DiffTicket(*ticket, *held)) {
      PrintChange(change);
    }
    const auto refused = coordination::ValidateTicket(*ticket, *held);
    if (!refused) continue;
    std::cout << "would be refused: " << refused->reason << "\n";
    code = ExitCode::kExitRefused;
  }
  return code;
}

int Show(const CliOptions& options, const state::KeyValueStore& store) {
  const auto items = ReadItems(store);
  if (!items) return items.error();
  const std::string kind =
      !options.arguments.empty() ? options.arguments[0] : "";
  const std::string name =
      options.arguments.size() > 1 ? options.arguments[1] : "";
  for (const auto& [key, item] : *items) {
    if (!kind.empty() && kind != state::ItemKindName(item.kind)) continue;
    if (!name.empty() && name != item.name) continue;
    std::cout << state::ItemKindName(item.kind) << " " << item.name
              << " ticket " << item.ticket << " revision " << item.revision
              << " " << (item.deleted ? "removed" : item.state.dump()) << "\n";
  }
  return ExitCode::kExitOk;
}

int History(const state::KeyValueStore& store) {
  const auto tickets =
      store.range({.key = coordination::kTicketPrefix, .prefix = true});
  if (!tickets) return Unavailable();
  for (const state::KeyValueEntry& entry : tickets->entries) {
    std::cout << "revision " << entry.mod_revision << " " << entry.value
              << "\n";
  }
  return ExitCode::kExitOk;
}

void PrintStatus(const std::string& address,
                 const protocol::gen::StatusReply& reply) {
  std::cout << address << " " << reply.process << " failure_domain "
            << reply.failure_domain << " revision "
            << reply.envelope.config_revision << " load " << reply.load_units
            << " running " << reply.running
            << (reply.draining ? " draining" : "") << "\n";
}

/// Prints the revision in force at every process: those named, those in the
/// configuration, and those that any of them has heard from.
int Status(const CliOptions& options, const state::KeyValueStore& store) {
  std::deque<std::string> waiting(options.arguments.begin(),
                                  options.arguments.end());
  const auto items = ReadItems(store);
  // Without the service the processes named still lead to all others.
  if (!items && waiting.empty()) return items.error();
  if (items) {
    for (const auto& [key, item] : *items) {
      const bool server =
          item.kind == state::ItemKind::kBackendServer && !item.deleted;
      if (server) waiting.push_back(state::ToBackendServer(item).side);
    }
  }
  transport::PeerClient peers(std::chrono::milliseconds(500),
                              std::chrono::milliseconds(1000));
  protocol::gen::StatusRequest request;
  request.envelope.secret = options.secret;
  std::set<std::string> asked;
  std::set<std::int64_t> revisions;
  std::size_t silent = 0;
  while (!waiting.empty() && asked.size() < kMaxProcesses) {
    const std::string address = waiting.front();
    waiting.pop_front();
    if (!asked.insert(address).second) continue;
    const auto reply = peers.Status(address, request);
    if (!reply || reply->process.empty()) {
      std::cout << address << " no answer\n";
      ++silent;
      continue;
    }
    PrintStatus(address, *reply);
    revisions.insert(reply->envelope.config_revision);
    waiting.insert(waiting.end(), reply->heard_from.begin(),
                   reply->heard_from.end());
  }
  std::cout << asked.size() << " processes, " << silent << " without answer";
  if (!revisions.empty()) {
    std::cout << ", revisions " << *revisions.begin() << " to "
              << *revisions.rbegin();
  }
  std::cout << "\n";
  return ExitCode::kExitOk;
}

}  // namespace

int main(int argc, const char** argv) {
  const CliOptions options = ParseOptions(argc, argv);
  if (options.command == "check" && !options.arguments.empty()) {
    return Check(options);
  }
  const bool known = options.command == "diff" || options.command == "apply" ||
                     options.command == "show" ||
                     options.command == "history" ||
                     options.command == "status";
  if (!known || options.key_value_url.empty()) {
    std::cerr << "usage: wasabiwall [--key-value URL] " << kUsage << "\n";
    return ExitCode::kExitUsage;
  }
  const transport::KeyValueClient client({options.key_value_url});
  const state::KeyValueStore store = client.Store();
  if (options.command == "diff") return Diff(options, store);
  if (options.command == "apply") return Apply(options, store);
  if (options.command == "show") return Show(options, store);
  if (options.command == "history") return History(store);
  return Status(options, store);
}
