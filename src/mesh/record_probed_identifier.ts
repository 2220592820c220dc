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
  if (previous === undefined || previous === identifier) return;
  reportStatementChange(node, () => forgetIncarnation(gate));
}
