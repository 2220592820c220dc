import { createMeshNode } from "../../mesh/create_mesh_node.ts";
import type { MeshNode } from "../../mesh/mesh_node.ts";
import { createMonotonicClock } from "../../runtime/create_monotonic_clock.ts";
import { createRandomSource } from "../../runtime/create_random_source.ts";
import { createSystemTimers } from "../../runtime/create_system_timers.ts";
import type { NetworkAddress } from "../../runtime/network_address.ts";
import { createSampleSettings } from "./create_sample_settings.ts";
import { testDialect } from "./test_dialect.ts";

/**
 * Creates a node in real time that opens no listener. Its backend server and the
 * listeners of the other nodes are at `address`.
 */
export function createLoneNode(address: NetworkAddress): MeshNode {
  const sample = createSampleSettings({ backendServer: address });
  const clock = createMonotonicClock();
  return createMeshNode({
    ...sample,
    listeners: { ...sample.listeners, nodes: address },
  }, {
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
