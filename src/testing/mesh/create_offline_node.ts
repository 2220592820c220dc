import { createMeshNode } from "../../mesh/create_mesh_node.ts";
import type { MeshNode } from "../../mesh/mesh_node.ts";
import type { MeshSettings } from "../../mesh/mesh_settings.ts";
import { createRandomSource } from "../../runtime/create_random_source.ts";
import type { VirtualTime } from "../virtual_time.ts";
import { testDialect } from "./test_dialect.ts";

const address = { host: "10.0.0.1", port: 8301 };

const settings: MeshSettings = {
  vm: "vm-1",
  zone: "sul-a",
  service: "vitrine",
  backendServer: address,
  listeners: {
    callers: address,
    nodes: address,
    readiness: address,
    metrics: undefined,
  },
  source: address,
  sourceBounds: { changeMilliseconds: 2_000, contactMilliseconds: 3_000 },
  retryAllowance: { ratio: 0.2, slack: 3, windowMilliseconds: 10_000 },
  coldAllowance: { factor: 1, slack: 1 },
  linkMegabitsPerSecond: 100,
  stopMilliseconds: 6_000,
};

/** Creates a node beside the backend server at 10.0.0.1:8301 that listens nowhere. */
export function createOfflineNode(
  { clock, timers }: Pick<VirtualTime, "clock" | "timers">,
): MeshNode {
  return createMeshNode(settings, {
    dialect: testDialect,
    clock,
    timers,
    random: createRandomSource(1),
    report: {
      call: () => undefined,
      viewChange: () => undefined,
      state: () => undefined,
    },
  });
}
