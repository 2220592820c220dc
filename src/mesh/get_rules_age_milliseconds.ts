import { getConfirmationAge } from "../organisations/get_confirmation_age.ts";
import type { MeshNode } from "./mesh_node.ts";
import { readClocks } from "./read_clocks.ts";

/**
 * Returns the milliseconds since the rules of a node were certainly current;
 * infinity if they never were.
 */
export function getRulesAgeMilliseconds(
  node: Pick<MeshNode, "clock" | "timeOfDay" | "rulesConfirmation">,
): number {
  return getConfirmationAge(node.rulesConfirmation, readClocks(node));
}
