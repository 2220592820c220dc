import { createMeshNode } from "../../mesh/create_mesh_node.ts";
import type { MeshNode } from "../../mesh/mesh_node.ts";
import type { MeshSettings } from "../../mesh/mesh_settings.ts";
import { createMonotonicClock } from "../../runtime/create_monotonic_clock.ts";
import { createRandomSource } from "../../runtime/create_random_source.ts";
import { createSystemTimers } from "../../runtime/create_system_timers.ts";
import { testDialect } from "./test_dialect.ts";

/** Creates a node in real time that opens no listener and reports nothing. */
export function createLoneNode(settings: MeshSettings): MeshNode {
  const clock = createMonotonicClock();
  return createMeshNode(settings, {
    dialect: testDialect,
    clock,
    timers: createSystemTimers(clock),
    random: createRandomSource(1),
    report: {
      call: () => undefined,
      viewChange: () => undefined,
      state: () => undefined,
    },
  });
}
