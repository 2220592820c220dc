import type { ClockReading } from "../runtime/clock_reading.ts";
import type { MeshNode } from "./mesh_node.ts";

/** Returns the present instant by both clocks of a node. */
export function readClocks(
  node: Pick<MeshNode, "clock" | "timeOfDay">,
): ClockReading {
  return { monotonic: node.clock.now(), timeOfDay: node.timeOfDay.now() };
}
