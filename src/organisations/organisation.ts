/** An organisation whose callers identify themselves with API keys. */
export interface Organisation {
  readonly name: string;
  /** Hashes of the API keys, as `hashApiKey` returns them; the keys themselves are not kept. */
  readonly keyHashes: readonly string[];
  /** Priority of its calls, 0 is the highest; undefined if that of the route applies. */
  readonly priority: number | undefined;
  /** Calls a second that it may make through all nodes together; 0 for no limit. */
  readonly callsPerSecond: number;
  /** Calls that it may make at once beyond its rate. */
  readonly burstCalls: number;
}
