import { writeFileSync } from "node:fs";
import { join } from "node:path";
import type { RandomSource } from "../../src/runtime/random_source.ts";
import { createRelay } from "../relay/create_relay.ts";
import type { StoreServer } from "../store/store_server.ts";
import { addressReuseMilliseconds } from "./address_reuse_milliseconds.ts";
import { createSoakNode } from "./create_soak_node.ts";
import type { SoakRecord } from "./soak_record.ts";
import type { SoakVm } from "./soak_vm.ts";
import { startSoakBackend } from "./start_soak_backend.ts";
import { withdrawalMilliseconds } from "./withdrawal_milliseconds.ts";

const zones = ["sul-a", "sul-b", "sul-c"];
const services = ["vitrine", "encomendas"];

/**
 * Starts a VM. Its node listens on one IP address of the loopback interface and
 * is advertised under another one, on which relays forward connections to it.
 */
export async function startSoakVm(
  index: number,
  options: {
    readonly program: string;
    readonly folder: string;
    readonly basePort: number;
    readonly store: StoreServer;
    readonly record: SoakRecord;
    readonly random: RandomSource;
  },
): Promise<SoakVm> {
  const { basePort, store, record, random } = options;
  const host = `127.0.0.${index + 1}`;
  const advertisedHost = `127.0.1.${index + 1}`;
  const zone = zones[index % zones.length]!;
  const service = services[index % services.length]!;
  const backend = await startSoakBackend({
    address: { host: advertisedHost, port: basePort + 1 },
    service,
    record,
    random,
  });
  const nodesRelay = createRelay({ host, port: basePort });
  nodesRelay.server.listen(basePort, advertisedHost);
  const storeRelay = createRelay(store.address);
  storeRelay.server.listen(basePort + 4, advertisedHost);
  const settingsPath = join(options.folder, `vm-${index}.conf`);
  writeFileSync(
    settingsPath,
    [
      `node=vm-${index}`,
      `zone=${zone}`,
      `service=${service}`,
      `appAddr=${advertisedHost}:${basePort + 1}`,
      `listen.inbound=${host}:${basePort}`,
      `listen.outbound=${host}:${basePort + 2}`,
      `listen.ready=${host}:${basePort + 3}`,
      `provider.addr=${advertisedHost}:${basePort + 4}`,
      "bounds.grace=6s",
      `bounds.reuseAfter=${addressReuseMilliseconds}ms`,
      "bounds.retryRatio=0.2",
      "bounds.retryWindow=10s",
      "bounds.retrySlack=60",
      "bounds.coldFactor=1.5",
      "bounds.coldSlack=5",
      "bounds.strictRevoke=true",
      `bounds.revoke=${withdrawalMilliseconds}ms`,
    ].join("\n"),
  );
  const node = createSoakNode({ program: options.program, settingsPath });
  let sequence = 0;
  let publishedIdentifier = "";

  function publishHeartbeat(state: "ready" | "draining"): void {
    const identifier = backend.getIdentifier();
    if (publishedIdentifier !== "" && publishedIdentifier !== identifier) {
      store.remove(`servers/${publishedIdentifier}`);
    }
    publishedIdentifier = identifier;
    sequence += 1;
    store.put(`servers/${identifier}`, {
      addr: `${advertisedHost}:${basePort + 1}`,
      info: { service: backend.getService(), version: "v1", zone, slots: 8 },
      status: { state, seq: sequence, coldLeft: "0ms" },
    });
  }

  publishHeartbeat("ready");
  node.start();
  return {
    zone,
    service,
    backend,
    node,
    callers: { host, port: basePort + 2 },
    nodesRelay,
    storeRelay,
    publishHeartbeat,
  };
}
