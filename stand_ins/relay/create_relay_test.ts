import test from "ava";
import { once } from "node:events";
import { connect, createServer } from "node:net";
import { getPort } from "../common/get_port.ts";
import { createRelay } from "./create_relay.ts";
import { relayModeSchema } from "./relay_mode_schema.ts";

const silenceMilliseconds = 100;

test("the relay lets open connections go silent while new ones work", async (t) => {
  const target = createServer((socket) => socket.pipe(socket));
  target.listen(0, "127.0.0.1");
  await once(target, "listening");
  const relay = createRelay({ host: "127.0.0.1", port: getPort(target) });
  relay.server.listen(0, "127.0.0.1");
  await once(relay.server, "listening");
  const open = () =>
    connect({ host: "127.0.0.1", port: getPort(relay.server) });
  const old = open();
  old.write("one");
  t.is(String((await once(old, "data"))[0]), "one");

  relay.setMode(relayModeSchema.parse({ openConnections: "silent" }));
  const heard: string[] = [];
  old.on("data", (data) => heard.push(String(data)));
  old.write("two");
  const fresh = open();
  fresh.write("three");
  t.is(String((await once(fresh, "data"))[0]), "three");
  await new Promise((resolve) => setTimeout(resolve, silenceMilliseconds));
  t.deepEqual(heard, []);
  relay.close();
  target.close();
});
