import test from "ava";
import { once } from "node:events";
import { connect, createServer } from "node:net";
import { getPort } from "../common/get_port.ts";
import { createRelay } from "./create_relay.ts";
import { relayModeSchema } from "./relay_mode_schema.ts";

const observationMilliseconds = 100;

test("the relay drops data of open connections while new connections work", async (t) => {
  const target = createServer((socket) => socket.pipe(socket));
  target.listen(0, "127.0.0.1");
  await once(target, "listening");
  const relay = createRelay({ host: "127.0.0.1", port: getPort(target) });
  relay.server.listen(0, "127.0.0.1");
  await once(relay.server, "listening");
  const openConnection = () =>
    connect({ host: "127.0.0.1", port: getPort(relay.server) });
  const existingSocket = openConnection();
  existingSocket.write("one");
  t.is(String((await once(existingSocket, "data"))[0]), "one");

  relay.setMode(relayModeSchema.parse({ openConnections: "silent" }));
  const received: string[] = [];
  existingSocket.on("data", (data) => received.push(String(data)));
  existingSocket.write("two");
  const newSocket = openConnection();
  newSocket.write("three");
  t.is(String((await once(newSocket, "data"))[0]), "three");
  await new Promise((resolve) => setTimeout(resolve, observationMilliseconds));
  t.deepEqual(received, []);
  relay.close();
  target.close();
});
