import { setTimeout as delay } from "node:timers/promises";
import type { MeshFleet } from "./mesh_fleet.ts";

/** Sends other calls one after the other until `isDone`; resolves with the longest time, or infinity if one of them failed. */
export async function measureOtherCalls(
  fleet: MeshFleet,
  isDone: () => boolean,
): Promise<number> {
  let longest = 0;
  // Sequential, until the endless call has ended.
  while (!isDone()) {
    const startedAt = performance.now();
    const { status } = await fleet.call(0, { identifier: "other" });
    longest = Math.max(
      longest,
      status === 200 ? performance.now() - startedAt : Number.POSITIVE_INFINITY,
    );
    await delay(20);
  }
  return longest;
}
