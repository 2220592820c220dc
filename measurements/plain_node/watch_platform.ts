import { Buffer } from "node:buffer";
import { Pool } from "undici";
import { compileSnapshot } from "../../src/configuration/compile_snapshot.ts";
import { parseConfiguration } from "../../src/configuration/parse_configuration.ts";
import { splitConfiguration } from "../../src/configuration/split_configuration.ts";
import type { NetworkAddress } from "../../src/runtime/network_address.ts";
import type { PlainNodeState } from "./plain_node_state.ts";

const watchTimeoutMilliseconds = 30_000;
const retryDelayMilliseconds = 1000;
const okStatus = 200;

interface PublishedValue {
  readonly revision: number;
  readonly value: string;
}

/** Watches the platform's configuration and applies each version, until the process ends. */
export function watchPlatform(
  platform: NetworkAddress,
  state: PlainNodeState,
): void {
  const pool = new Pool(`http://${platform.host}:${platform.port}`, {
    headersTimeout: watchTimeoutMilliseconds * 2,
  });
  const readConfiguration = async () => {
    const query = state.revision === undefined
      ? ""
      : `?after=${state.revision}&until=${
        Date.now() + watchTimeoutMilliseconds
      }`;
    const path = `/values/configuration${query}`;
    state.platformReads += 1;
    state.bytesSent += path.length;
    const response = await pool.request({ method: "GET", path });
    const text = await response.body.text();
    state.messagesReceived += 1;
    state.bytesReceived += Buffer.byteLength(text);
    if (response.statusCode === okStatus) {
      applyPublishedValue(JSON.parse(text) as PublishedValue, state);
      return 0;
    }
    // A watch that ended without a change (204) is repeated immediately, an error
    // after a delay.
    return state.revision === undefined || response.statusCode > okStatus * 2
      ? retryDelayMilliseconds
      : 0;
  };
  const readNext = () => {
    readConfiguration().catch(() => retryDelayMilliseconds).then(
      (delayMilliseconds) => {
        setTimeout(readNext, delayMilliseconds);
      },
    );
  };
  readNext();
}

function applyPublishedValue(
  published: PublishedValue,
  state: PlainNodeState,
): void {
  state.revision = published.revision;
  parseConfiguration(published.value)
    .andThen(splitConfiguration)
    .andThen((set) => compileSnapshot(set))
    .map((snapshot) => {
      state.snapshot = snapshot;
      state.appliedAt = Date.now();
    });
}
