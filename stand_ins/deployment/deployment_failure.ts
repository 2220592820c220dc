/** A step of a deployment that did not come to its end. */
export class DeploymentFailure extends Error {
  override readonly name = "DeploymentFailure";
}
