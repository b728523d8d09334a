// Commands for running nodes: status, drain, explain. Nodes are found by the
// platform's instance list.

#ifndef APPS_QUETZALHALL_NODE_COMMANDS_H_
#define APPS_QUETZALHALL_NODE_COMMANDS_H_

#include <string>

#include "apps/common/program.h"
#include "apps/quetzalhall/admin_client.h"
#include "apps/quetzalhall/folder_commands.h"

namespace qh::cli {

// Prints a table of the nodes; kFailed when one does not answer.
ExitCode Status(const InstanceListHook& instances,
                const AdminClient& admin,
                const Output& output);

// Starts the drain of the node `instance`; kFailed when the node is not listed
// or does not accept the request.
ExitCode Drain(const std::string& instance,
               const InstanceListHook& instances,
               const AdminClient& admin,
               const Output& output);

// Prints the state of the request on each node that knows it; kFailed when no
// node does.
ExitCode Explain(const std::string& request,
                 const InstanceListHook& instances,
                 const AdminClient& admin,
                 const Output& output);

}  // namespace qh::cli

#endif  // APPS_QUETZALHALL_NODE_COMMANDS_H_
