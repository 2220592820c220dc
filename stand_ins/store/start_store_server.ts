import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import { match } from "ts-pattern";
import { StoreFault } from "./store_fault.ts";
import type { StoreServer } from "./store_server.ts";
import type { StoredItem } from "./stored_item.ts";

const itemsPerPage = 500;
const firstRevision = 1;
const firstEra = 1;
const oversizedChunk = Buffer.alloc(1_048_576, " ");
const watchTimeoutMaximumMilliseconds = 30_000;

/** A long poll that waits for a change after a revision. */
interface Watch {
  readonly prefix: string;
  readonly after: number;
  readonly response: ServerResponse;
}

/** Starts a stand-in that responds to reads and watches as the platform's store does; resolves once it listens. */
export async function startStoreServer(
  options: { readonly host: string; readonly port: number },
): Promise<StoreServer> {
  const items = new Map<string, StoredItem>();
  let history: StoredItem[] = [];
  /** Every change since the start, for copies. */
  let log: { readonly at: number; readonly item: StoredItem }[] = [];
  let compactedRevision = 0;
  let revision = firstRevision;
  let era = firstEra;
  let readCount = 0;
  let fault = StoreFault.None;
  const watches = new Set<Watch>();

  function sendJson(
    response: ServerResponse,
    status: number,
    body: unknown,
  ): void {
    response.writeHead(status, {
      "content-type": "application/json",
      "store-era": String(era),
    });
    response.end(JSON.stringify(body));
  }

  function getChanges(prefix: string, after: number): readonly StoredItem[] {
    return history.filter(({ key, rev }) =>
      rev > after && key.startsWith(prefix)
    );
  }

  function recordChange(item: StoredItem): void {
    history.push(item);
    log.push({ at: Date.now(), item });
    watches.forEach((watch) => {
      const events = getChanges(watch.prefix, watch.after);
      if (events.length === 0) return;
      watches.delete(watch);
      sendJson(watch.response, 200, { events, currentRev: revision });
    });
  }

  function handleRangeRead(url: URL, response: ServerResponse): void {
    const prefix = url.searchParams.get("prefix") ?? "";
    const after = url.searchParams.get("after") ?? "";
    const matchingItems = Array.from(items.values())
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((left, right) => left.key < right.key ? -1 : 1);
    sendJson(response, 200, {
      items: matchingItems.slice(0, itemsPerPage),
      hasMore: matchingItems.length > itemsPerPage,
      currentRev: revision,
    });
  }

  function handleWatch(url: URL, response: ServerResponse): void {
    const prefix = url.searchParams.get("prefix") ?? "";
    const after = Number(url.searchParams.get("after"));
    const timeoutMilliseconds = Math.min(
      watchTimeoutMaximumMilliseconds,
      Number(url.searchParams.get("waitMs")),
    );
    if (after < compactedRevision || after > revision) {
      return sendJson(response, 410, {});
    }
    const events = getChanges(prefix, after);
    if (events.length > 0) {
      return sendJson(response, 200, { events, currentRev: revision });
    }
    const watch = { prefix, after, response };
    watches.add(watch);
    const timer = setTimeout(() => {
      if (!watches.delete(watch)) return;
      sendJson(response, 200, { events: [], currentRev: revision });
    }, timeoutMilliseconds);
    response.once("close", () => {
      clearTimeout(timer);
      watches.delete(watch);
    });
  }

  function handleRead(url: URL, response: ServerResponse): void {
    if (url.pathname === "/kv-range") return handleRangeRead(url, response);
    if (url.pathname === "/kv-watch") return handleWatch(url, response);
    const item = items.get(url.searchParams.get("key") ?? "");
    if (url.pathname !== "/kv-key" || item === undefined) {
      return sendJson(response, 404, {});
    }
    sendJson(response, 200, { ...item, currentRev: revision });
  }

  const server = createServer((request, response) => {
    readCount += 1;
    const url = new URL(request.url ?? "/", "http://store.example");
    match(fault)
      .with(StoreFault.None, () => handleRead(url, response))
      .with(StoreFault.Busy, () => sendJson(response, 503, {}))
      .with(StoreFault.Reset, () => request.socket.resetAndDestroy())
      .with(StoreFault.Silent, () => undefined)
      .with(StoreFault.Oversized, () => sendEndlessResponse(response))
      .with(StoreFault.Garbled, () => response.end('{"items": [{"key"'))
      .exhaustive();
  });
  server.listen(options.port, options.host);
  await once(server, "listening");
  const boundAddress = server.address();
  const port = typeof boundAddress === "object" && boundAddress !== null
    ? boundAddress.port
    : 0;

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
      recordChange(item);
    },
    remove: (key) => {
      if (!items.delete(key)) return;
      revision += 1;
      recordChange({ key, rev: revision, removed: true });
    },
    restoreCopy: ({ ageMilliseconds }) => {
      const copiedAt = Date.now() - ageMilliseconds;
      log = log.filter(({ at }) => at <= copiedAt);
      items.clear();
      log.forEach(({ item }) => {
        if (item.removed === true) items.delete(item.key);
        else items.set(item.key, item);
      });
      revision = log.at(-1)?.item.rev ?? firstRevision;
      history = history.filter(({ rev }) => rev <= revision);
      compactedRevision = Math.min(compactedRevision, revision);
      era += 1;
      watches.forEach(({ response }) => response.destroy());
      watches.clear();
    },
    compact: () => {
      compactedRevision = revision;
      history = [];
    },
    setFault: (nextFault) => {
      fault = nextFault;
      if (nextFault === StoreFault.None) return;
      watches.forEach(({ response }) => response.destroy());
      watches.clear();
    },
    getReadCount: () => readCount,
    close: async () => {
      server.close();
      server.closeAllConnections();
      await once(server, "close");
    },
  };
}

function sendEndlessResponse(response: ServerResponse): void {
  const writeChunk = () => {
    if (!response.destroyed) response.write(oversizedChunk, writeChunk);
  };
  writeChunk();
}
