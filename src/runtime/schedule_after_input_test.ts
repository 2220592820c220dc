import test from "ava";
import { once } from "node:events";
import { type AddressInfo, connect, createServer } from "node:net";
import { scheduleAfterInput } from "./schedule_after_input.ts";

// One of the tests blocks the event loop, so they run one at a time.
const serialTest = test.serial;

const delayMilliseconds = 50;
const blockedMilliseconds = 200;

function blockEventLoop(): void {
  const until = performance.now() + blockedMilliseconds;
  while (performance.now() < until);
}

// Guards against a timeout of a response that arrived while this process was
// blocked.
serialTest(
  "a timer that is late for a blocked event loop can be cancelled by input that has arrived",
  async (t) => {
    const server = createServer((socket) => {
      socket.on("error", () => undefined);
      socket.on("data", (data) => {
        socket.write(data);
        // The response has been sent, and cannot be read meanwhile.
        blockEventLoop();
      });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => server.close());
    const socket = connect((server.address() as AddressInfo).port, "127.0.0.1");
    t.teardown(() => socket.destroy());
    await once(socket, "connect");
    let hasTimedOut = false;
    socket.write("request");
    const timer = scheduleAfterInput(delayMilliseconds, () => {
      hasTimedOut = true;
    });
    socket.once("data", () => timer.cancel());
    await once(socket, "data");
    await new Promise((resolve) => setTimeout(resolve, 2 * delayMilliseconds));
    t.false(hasTimedOut);
  },
);

serialTest("a timer that nothing cancels fires once", async (t) => {
  let fired = 0;
  scheduleAfterInput(delayMilliseconds, () => {
    fired += 1;
  });
  await new Promise((resolve) => setTimeout(resolve, 3 * delayMilliseconds));
  t.is(fired, 1);
});
