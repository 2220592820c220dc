import type { SourcePosition } from "../source/source_position.ts";
import { confirmRules } from "./confirm_rules.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Records that the rules were current when the read of the source began that a
 * reading results from. A watch that waited may have missed what was written
 * later.
 *
 * The first reading of a later era confirms nothing: the older copy may lack a
 * withdrawal that the source had acknowledged.
 */
export function confirmRulesByReading(
  node: MeshNode,
  { era }: Pick<SourcePosition, "era">,
): void {
  const { readStartedAt } = node.rulesConfirmation;
  if (readStartedAt === undefined) return;
  if (era !== (node.view.sourceEra ?? era)) return;
  confirmRules(node, readStartedAt);
}
