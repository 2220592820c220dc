import type { NetworkAddress } from "../runtime/network_address.ts";

/** The checked settings of one node. Times are spans here; each becomes a deadline where it is used. */
export interface NodeSettings {
  readonly vm: string;
  readonly zone: string;
  readonly listeners: {
    readonly callers: NetworkAddress;
    readonly nodes: NetworkAddress;
    readonly operators: NetworkAddress;
  };
  /** Name in the register and address of the backend server on this VM; null for a VM without one. */
  readonly backendServer:
    | { readonly name: string; readonly address: NetworkAddress }
    | null;
  readonly platform: NetworkAddress;
  /** Nodes to ask before the platform's VM list is known. */
  readonly seedPeers: readonly NetworkAddress[];
  readonly limits: {
    readonly requestBodyBytes: number;
    readonly requestHeaderBytes: number;
    /** Answers up to this size are held back until whole. */
    readonly bufferedAnswerBytes: number;
    readonly configurationBytes: number;
    readonly queuedCalls: number;
  };
  readonly timing: {
    readonly drainMilliseconds: number;
    readonly probeIntervalMilliseconds: number;
    readonly exchangeIntervalMilliseconds: number;
    readonly startupQuestionMilliseconds: number;
    readonly pauseThresholdMilliseconds: number;
    readonly keyLifetimeMilliseconds: number;
    readonly clockSkewMilliseconds: number;
  };
  readonly logLevel: "debug" | "info" | "warn" | "error" | "silent";
}
