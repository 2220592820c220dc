import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import { match } from "ts-pattern";
import { StoreFault } from "./store_fault.ts";
import type { StoreServer } from "./store_server.ts";
import type { StoredItem } from "./stored_item.ts";

const pageItems = 500;
const oversizedPiece = Buffer.alloc(1_048_576, " ");
const watchMillisecondsMaximum = 30_000;

interface Watch {
  readonly prefix: string;
  readonly after: number;
  readonly response: ServerResponse;
}

/** Starts a stand-in that answers reads and watches as the platform's store does. */
export async function createStoreServer(
  options: { readonly host: string; readonly port: number },
): Promise<StoreServer> {
  const items = new Map<string, StoredItem>();
  let history: StoredItem[] = [];
  let forgotten = 0;
  let revision = 1;
  let reads = 0;
  let fault = StoreFault.None;
  const watches = new Set<Watch>();

  function send(response: ServerResponse, status: number, body: unknown): void {
    response.writeHead(status, { "content-type": "application/json" });
    response.end(JSON.stringify(body));
  }

  function getChanges(prefix: string, after: number): readonly StoredItem[] {
    return history.filter(({ key, rev }) =>
      rev > after && key.startsWith(prefix)
    );
  }

  function record(item: StoredItem): void {
    history.push(item);
    watches.forEach((watch) => {
      const events = getChanges(watch.prefix, watch.after);
      if (events.length === 0) return;
      watches.delete(watch);
      send(watch.response, 200, { events, currentRev: revision });
    });
  }

  function readRange(url: URL, response: ServerResponse): void {
    const prefix = url.searchParams.get("prefix") ?? "";
    const after = url.searchParams.get("after") ?? "";
    const found = Array.from(items.values())
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => left.key < right.key ? -1 : 1);
    send(response, 200, {
      items: found.slice(0, pageItems),
      hasMore: found.length > pageItems,
      currentRev: revision,
    });
  }

  function watchChanges(url: URL, response: ServerResponse): void {
    const prefix = url.searchParams.get("prefix") ?? "";
    const after = Number(url.searchParams.get("after"));
    const wait = Math.min(
      watchMillisecondsMaximum,
      Number(url.searchParams.get("waitMs")),
    );
    if (after < forgotten) return send(response, 410, {});
    const events = getChanges(prefix, after);
    if (events.length > 0) {
      return send(response, 200, { events, currentRev: revision });
    }
    const watch = { prefix, after, response };
    watches.add(watch);
    const timer = setTimeout(() => {
      if (!watches.delete(watch)) return;
      send(response, 200, { events: [], currentRev: revision });
    }, wait);
    response.once("close", () => {
      clearTimeout(timer);
      watches.delete(watch);
    });
  }

  function serve(url: URL, response: ServerResponse): void {
    if (url.pathname === "/kv-range") return readRange(url, response);
    if (url.pathname === "/kv-watch") return watchChanges(url, response);
    const item = items.get(url.searchParams.get("key") ?? "");
    if (url.pathname !== "/kv-key" || item === undefined) {
      return send(response, 404, {});
    }
    send(response, 200, { ...item, currentRev: revision });
  }

  const server = createServer((request, response) => {
    reads += 1;
    const url = new URL(request.url ?? "/", "http://store.example");
    match(fault)
      .with(StoreFault.None, () => serve(url, response))
      .with(StoreFault.Busy, () => send(response, 503, {}))
      .with(StoreFault.Reset, () => request.socket.resetAndDestroy())
      .with(StoreFault.Silent, () => undefined)
      .with(StoreFault.Oversized, () => sendWithoutEnd(response))
      .with(StoreFault.Garbled, () => response.end('{"items": [{"key"'))
      .exhaustive();
  });
  server.listen(options.port, options.host);
  await once(server, "listening");
  const bound = server.address();
  const port = typeof bound === "object" && bound !== null ? bound.port : 0;

  return {
    address: { host: options.host, port },
    put: (key, value) => {
      revision += 1;
      const text = typeof value === "string" ? value : JSON.stringify(value);
      const item = {
        key,
        value: Buffer.from(text).toString("base64"),
        rev: revision,
      };
      items.set(key, item);
      record(item);
    },
    remove: (key) => {
      if (!items.delete(key)) return;
      revision += 1;
      record({ key, rev: revision, removed: true });
    },
    compact: () => {
      forgotten = revision;
      history = [];
    },
    setFault: (next) => {
      fault = next;
      if (next === StoreFault.None) return;
      watches.forEach(({ response }) => response.destroy());
      watches.clear();
    },
    getReads: () => reads,
    close: async () => {
      server.close();
      server.closeAllConnections();
      await once(server, "close");
    },
  };
}

function sendWithoutEnd(response: ServerResponse): void {
  const writePiece = () => {
    if (!response.destroyed) response.write(oversizedPiece, writePiece);
  };
  writePiece();
}
