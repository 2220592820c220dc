import { connect, createServer } from "node:net";
import type { Socket } from "node:net";
import type { NetworkAddress } from "../../runtime/network_address.ts";
import { listenOnLoopback } from "./listen_on_loopback.ts";
import type { Relay } from "./relay.ts";

enum RelayMode {
  Pass = "pass",
  SwallowAnswers = "swallow-answers",
  CutAnswers = "cut-answers",
  HoldRequests = "hold-requests",
}

interface Link {
  readonly near: Socket;
  readonly far: Socket;
  silent: boolean;
}

/** Starts a relay in front of a listener. */
export async function startRelay(target: NetworkAddress): Promise<Relay> {
  let mode = RelayMode.Pass;
  let held: (() => void)[] = [];
  const links = new Set<Link>();
  const server = createServer((near) => {
    const link: Link = {
      near,
      far: connect(target.port, target.host),
      silent: false,
    };
    links.add(link);
    near.on("data", (piece) => {
      if (link.silent) {
        return;
      }
      if (mode === RelayMode.HoldRequests) {
        held.push(() => link.far.write(piece));
        return;
      }
      link.far.write(piece);
    });
    link.far.on("data", (piece) => {
      if (mode === RelayMode.CutAnswers) {
        near.destroy();
        return;
      }
      if (!link.silent && mode !== RelayMode.SwallowAnswers) {
        near.write(piece);
      }
    });
    // What the relay has lost track of is not told to the other side.
    const pass = (other: Socket) => () => {
      if (!link.silent && mode === RelayMode.Pass) {
        other.destroy();
      }
    };
    near.on("close", pass(link.far));
    link.far.on("close", pass(near));
    near.on("error", () => undefined);
    link.far.on("error", () => undefined);
  });
  return {
    address: await listenOnLoopback(server),
    silence: () =>
      links.forEach((link) => {
        link.silent = true;
      }),
    swallowAnswers: () => {
      mode = RelayMode.SwallowAnswers;
    },
    cutAnswers: () => {
      mode = RelayMode.CutAnswers;
    },
    holdRequests: () => {
      mode = RelayMode.HoldRequests;
    },
    release: () => {
      mode = RelayMode.Pass;
      held.forEach((pass) => pass());
      held = [];
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        links.forEach(({ near, far }) => {
          near.destroy();
          far.destroy();
        });
      }),
  };
}
