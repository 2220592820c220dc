import { forgetIncarnation } from "../gate/forget_incarnation.ts";
import type { MeshNode } from "./mesh_node.ts";
import { reportStatementChange } from "./report_statement_change.ts";

/**
 * Records which incarnation answers at the address of this VM's backend server;
 * undefined if the answer does not tell.
 */
export function recordProbedIdentifier(
  node: MeshNode,
  identifier: string | undefined,
): void {
  const { gate, serverProbe } = node;
  const previous = serverProbe.probedIdentifier;
  serverProbe.probedIdentifier = identifier;
  if (previous === identifier) return;
  reportIdentifier(node, { identifier, previous });
  if (previous === undefined) return;
  reportStatementChange(node, () => forgetIncarnation(gate));
}

function reportIdentifier(
  node: MeshNode,
  change: {
    readonly identifier: string | undefined;
    readonly previous: string | undefined;
  },
): void {
  const { identifier, previous } = change;
  const record = identifier === undefined
    ? undefined
    : node.view.register.get(identifier);
  node.report.state("backend-server", {
    identifier: identifier ?? null,
    previousIdentifier: previous ?? null,
    listedService: record?.entry.service ?? null,
  });
}
