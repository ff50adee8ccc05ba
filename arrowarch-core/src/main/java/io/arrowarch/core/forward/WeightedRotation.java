package io.arrowarch.core.forward;

import io.arrowarch.core.route.RouteTarget.WeightedService;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Smooth weighted round-robin over services: they get requests in proportion to their weights, as
 * evenly as whole requests allow. In each turn every service gains credit equal to its weight; the
 * one with the most credit gets the request and pays the sum of all weights from its credit. The
 * initial credits are random, so that routers do not pick the same services in step.
 */
final class WeightedRotation {
  private final List<WeightedService> services;
  private final double[] credit;
  private final double totalWeight;

  WeightedRotation(List<WeightedService> services, RandomGenerator random) {
    this.services = services;
    this.credit = new double[services.size()];
    this.totalWeight = services.stream().mapToDouble(WeightedService::weight).sum();
    for (int i = 0; i < credit.length; i++) {
      credit[i] = random.nextDouble() * services.get(i).weight();
    }
  }

  List<WeightedService> services() {
    return services;
  }

  String next() {
    int highest = 0;
    for (int i = 0; i < credit.length; i++) {
      credit[i] += services.get(i).weight();
      if (credit[i] > credit[highest]) {
        highest = i;
      }
    }
    credit[highest] -= totalWeight;
    return services.get(highest).service();
  }
}
