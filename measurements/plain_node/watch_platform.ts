import { Buffer } from "node:buffer";
import { Pool } from "undici";
import { compileSnapshot } from "../../src/configuration/compile_snapshot.ts";
import { parseConfiguration } from "../../src/configuration/parse_configuration.ts";
import { splitConfiguration } from "../../src/configuration/split_configuration.ts";
import type { NetworkAddress } from "../../src/runtime/network_address.ts";
import type { PlainNodeState } from "./plain_node_state.ts";

const watchMilliseconds = 30_000;
const retryMilliseconds = 1000;
const okStatus = 200;

interface PublishedValue {
  readonly revision: number;
  readonly value: string;
}

/** Watches the platform for as long as the process runs; the node has no other source. */
export function watchPlatform(
  platform: NetworkAddress,
  state: PlainNodeState,
): void {
  const pool = new Pool(`http://${platform.host}:${platform.port}`, {
    headersTimeout: watchMilliseconds * 2,
  });
  const readOnce = async () => {
    const query = state.revision === undefined
      ? ""
      : `?after=${state.revision}&until=${Date.now() + watchMilliseconds}`;
    const path = `/values/configuration${query}`;
    state.platformReads += 1;
    state.bytesSent += path.length;
    const answer = await pool.request({ method: "GET", path });
    const text = await answer.body.text();
    state.messagesReceived += 1;
    state.bytesReceived += Buffer.byteLength(text);
    if (answer.statusCode === okStatus) {
      apply(JSON.parse(text) as PublishedValue, state);
      return 0;
    }
    return state.revision === undefined || answer.statusCode > okStatus * 2
      ? retryMilliseconds
      : 0;
  };
  const readNext = () => {
    readOnce().catch(() => retryMilliseconds).then((pause) => {
      setTimeout(readNext, pause);
    });
  };
  readNext();
}

function apply(published: PublishedValue, state: PlainNodeState): void {
  state.revision = published.revision;
  parseConfiguration(published.value)
    .andThen(splitConfiguration)
    .andThen((set) => compileSnapshot(set))
    .map((snapshot) => {
      state.snapshot = snapshot;
      state.appliedAt = Date.now();
    });
}
