import { createMeshNode } from "../../mesh/create_mesh_node.ts";
import type { MeshNode } from "../../mesh/mesh_node.ts";
import { createRandomSource } from "../../runtime/create_random_source.ts";
import type { VirtualTime } from "../virtual_time.ts";
import { createSampleSettings } from "./create_sample_settings.ts";
import { testDialect } from "./test_dialect.ts";

const address = { host: "10.0.0.1", port: 8301 };

const settings = createSampleSettings({ backendServer: address });

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
