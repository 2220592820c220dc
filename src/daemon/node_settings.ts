import type { NetworkAddress } from "../runtime/network_address.ts";

/** The validated settings of one node. Fields in milliseconds are durations, which are converted to deadlines where they are used. */
export interface NodeSettings {
  readonly vm: string;
  readonly zone: string;
  readonly listeners: {
    readonly callers: NetworkAddress;
    readonly nodes: NetworkAddress;
    readonly operators: NetworkAddress;
  };
  /** Name in the register and address of the backend server on this VM; null if the VM has none. */
  readonly backendServer:
    | { readonly name: string; readonly address: NetworkAddress }
    | null;
  readonly platform: NetworkAddress;
  /** Nodes to contact before the platform's VM list is available. */
  readonly seedPeers: readonly NetworkAddress[];
  readonly limits: {
    readonly requestBodyBytes: number;
    readonly requestHeaderBytes: number;
    /** Answers up to this size are buffered until they are complete; longer ones are streamed. */
    readonly bufferedAnswerBytes: number;
    readonly configurationBytes: number;
    readonly queuedCalls: number;
  };
  readonly timing: {
    readonly drainMilliseconds: number;
    readonly probeIntervalMilliseconds: number;
    /** Interval of the anti-entropy exchanges with peers. */
    readonly exchangeIntervalMilliseconds: number;
    /** How long a node waits for the versions of its peers, at its start and after a pause. */
    readonly startupQuestionMilliseconds: number;
    readonly pauseThresholdMilliseconds: number;
    readonly keyLifetimeMilliseconds: number;
    readonly clockSkewMilliseconds: number;
  };
  readonly logLevel: "debug" | "info" | "warn" | "error" | "silent";
}
