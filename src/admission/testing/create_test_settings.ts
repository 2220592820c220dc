import type { NodeSettings } from "../../daemon/node_settings.ts";

const address = { host: "127.0.0.1", port: 9 };

/** Creates the settings of a node beside the backend server `encomendas-1` in the zone `sul-a`. */
export function createTestSettings(): NodeSettings {
  return {
    vm: "vm-1",
    zone: "sul-a",
    listeners: { callers: address, nodes: address, operators: address },
    backendServer: { name: "encomendas-1", address },
    platform: address,
    seedPeers: [],
    limits: {
      requestBodyBytes: 1_048_576,
      requestHeaderBytes: 16_384,
      bufferedAnswerBytes: 262_144,
      configurationBytes: 1_048_576,
      queuedCalls: 4,
    },
    timing: {
      drainMilliseconds: 30_000,
      probeIntervalMilliseconds: 1_000,
      exchangeIntervalMilliseconds: 1_000,
      startupQuestionMilliseconds: 2_000,
      pauseThresholdMilliseconds: 1_000,
      keyLifetimeMilliseconds: 600_000,
      clockSkewMilliseconds: 2_000,
    },
    logLevel: "silent",
  };
}
