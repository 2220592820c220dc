import type { MeshSettings } from "../../mesh/mesh_settings.ts";

const host = "10.0.0.1";

/** Creates the settings of a node that opens no listener; `overrides` replaces fields. */
export function createSampleSettings(
  overrides: Partial<MeshSettings> = {},
): MeshSettings {
  const address = { host, port: 1 };
  return {
    vm: "vm-0",
    zone: "sul-a",
    service: "vitrine",
    backendServer: address,
    addressReuseMilliseconds: 2_000,
    listeners: {
      callers: address,
      nodes: address,
      readiness: address,
      metrics: undefined,
    },
    source: address,
    sourceBounds: { changeMilliseconds: 2_500, contactMilliseconds: 3_000 },
    retryAllowance: { ratio: 0.2, slack: 60, windowMilliseconds: 10_000 },
    quotaBounds: {
      windowMilliseconds: 5_000,
      excessRatio: 0.25,
      slackCalls: 20,
    },
    coldAllowance: { factor: 1.5, slack: 5 },
    linkMegabitsPerSecond: 1_000,
    stopMilliseconds: 1_000,
    ...overrides,
  };
}
