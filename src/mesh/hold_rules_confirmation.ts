import type { MeshNode } from "./mesh_node.ts";

/** Time in which operators write again what the source lost. */
const rewriteMilliseconds = 5_000;

/**
 * Withdraws the confirmation of the rules of a node that has started with an
 * older copy of the source, until operators have written again: the copy may
 * lack a withdrawal. A neighbour tells for how long that takes; without one, the
 * node waits for the whole time.
 */
export function holdRulesConfirmation(
  node: Pick<MeshNode, "clock" | "view" | "rulesConfirmation">,
  { hasReply }: { readonly hasReply: boolean },
): void {
  const { rulesConfirmation, view } = node;
  const now = node.clock.now();
  if (!hasReply) rulesConfirmation.heldUntil = now + rewriteMilliseconds;
  if (now >= Math.max(rulesConfirmation.heldUntil, view.heldZonesUntil)) return;
  rulesConfirmation.confirmedAt = undefined;
}
