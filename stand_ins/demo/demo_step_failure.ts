/** A step of the demo that did not come to its end. */
export class DemoStepFailure extends Error {
  override readonly name = "DemoStepFailure";
}
